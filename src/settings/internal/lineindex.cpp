#include "settings/lineindex.h"

#include <fmt/format.h>

namespace oriolevane::settings {

namespace {

// Walks the text once, keeping count of lines. The text is known to be valid
// JSON with comments.
class Walker
{
public:
  Walker(std::string_view aText,
         std::map<std::string, std::size_t, std::less<>>& aLines)
    : mText(aText)
    , mLines(aLines)
  {
  }

  void Value(const std::string& aPath)
  {
    SkipBlank();
    mLines.emplace(aPath, mLine);
    if (Peek() == '{') {
      Object(aPath);
    } else if (Peek() == '[') {
      Array(aPath);
    } else if (Peek() == '"') {
      Text();
    } else {
      Scalar();
    }
  }

private:
  char Peek() const { return mAt < mText.size() ? mText[mAt] : '\0'; }
  bool AtEnd() const { return mAt >= mText.size(); }

  void Advance()
  {
    if (Peek() == '\n') {
      ++mLine;
    }
    ++mAt;
  }

  void SkipBlank()
  {
    while (!AtEnd()) {
      if (Peek() == '/') {
        SkipComment();
      } else if (Peek() == ' ' || Peek() == '\t' || Peek() == '\n' ||
                 Peek() == '\r') {
        Advance();
      } else {
        return;
      }
    }
  }

  void SkipComment()
  {
    const bool toLineEnd = mText.substr(mAt, 2) == "//";
    const std::string_view end = toLineEnd ? "\n" : "*/";
    while (!AtEnd() && mText.substr(mAt, end.size()) != end) {
      Advance();
    }
    for (std::size_t skipped = 0; skipped < end.size() && !AtEnd(); ++skipped) {
      Advance();
    }
  }

  std::string Text()
  {
    std::string text;
    Advance();
    while (!AtEnd() && Peek() != '"') {
      if (Peek() == '\\') {
        Advance();
      }
      text += Peek();
      Advance();
    }
    Advance();
    return text;
  }

  void Scalar()
  {
    constexpr std::string_view kEnds = ",]} \t\r\n/";
    while (!AtEnd() && kEnds.find(Peek()) == std::string_view::npos) {
      Advance();
    }
  }

  // Skips blanks and one separator; false at the closing bracket.
  bool MoreItems(char aClosing)
  {
    SkipBlank();
    if (Peek() == ',') {
      Advance();
      SkipBlank();
    }
    if (AtEnd() || Peek() == aClosing) {
      Advance();
      return false;
    }
    return true;
  }

  void Object(const std::string& aPath)
  {
    Advance();
    while (MoreItems('}')) {
      const std::string key = Text();
      SkipBlank();
      Advance();
      Value(JoinPath(aPath, key));
    }
  }

  void Array(const std::string& aPath)
  {
    Advance();
    for (std::size_t index = 0; MoreItems(']'); ++index) {
      Value(fmt::format("{}[{}]", aPath, index));
    }
  }

  std::string_view mText;
  std::map<std::string, std::size_t, std::less<>>& mLines;
  std::size_t mAt = 0;
  std::size_t mLine = 1;
};

} // namespace

LineIndex::LineIndex(std::string_view aText)
{
  Walker(aText, mLines).Value("");
}

std::size_t
LineIndex::LineOf(std::string_view aPath) const
{
  while (true) {
    const auto found = mLines.find(aPath);
    if (found != mLines.end()) {
      return found->second;
    }
    const std::size_t cut = aPath.find_last_of(".[");
    if (cut == std::string_view::npos) {
      return 1;
    }
    aPath = aPath.substr(0, cut);
  }
}

std::string
JoinPath(std::string_view aParent, std::string_view aKey)
{
  if (aParent.empty()) {
    return std::string(aKey);
  }
  return fmt::format("{}.{}", aParent, aKey);
}

} // namespace oriolevane::settings
