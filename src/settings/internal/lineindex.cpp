#include "settings/lineindex.h"

#include <fmt/format.h>

namespace oriolevane::settings {

namespace {

// Walks the text once, keeping count of lines, and goes into only those values
// that lead to the one looked for. The text is known to be valid JSON with
// comments.
class Walker
{
public:
  Walker(std::string_view aText, std::string_view aTarget)
    : mText(aText)
    , mTarget(aTarget)
  {
  }

  // The line of the closest value found.
  std::size_t Find()
  {
    Value(0);
    return mFoundLine;
  }

private:
  // A value whose path is the first aMatched bytes of the target. Depth is
  // bounded by the target's own.
  void Value(std::size_t aMatched) // NOLINT(misc-no-recursion)
  {
    SkipBlank();
    if (aMatched >= mFoundBytes) {
      mFoundBytes = aMatched;
      mFoundLine = mLine;
    }
    const bool deeper = aMatched < mTarget.size();
    if (deeper && Peek() == '{') {
      Object(aMatched);
    } else if (deeper && Peek() == '[') {
      Array(aMatched);
    } else {
      Skip();
    }
  }

  // The value of a member or item that adds aPart to the path matched so far.
  void Child(std::size_t aMatched,
             std::string_view aPart) // NOLINT(misc-no-recursion)
  {
    const std::size_t end = aMatched + aPart.size();
    const bool leads =
      mTarget.substr(aMatched, aPart.size()) == aPart &&
      (mTarget.size() == end || mTarget[end] == '.' || mTarget[end] == '[');
    if (leads) {
      Value(end);
    } else {
      Skip();
    }
  }

  // Any value, without recursion.
  void Skip()
  {
    std::size_t open = 0;
    do {
      SkipBlank();
      const char next = Peek();
      if (next == '"') {
        Text();
      } else if (next == '{' || next == '[') {
        ++open;
        Advance();
      } else if (next == '}' || next == ']') {
        --open;
        Advance();
      } else if (next == ',' || next == ':') {
        Advance();
      } else {
        Scalar();
      }
    } while (open > 0 && !AtEnd());
  }

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
    constexpr std::string_view kEnds = ",:]}[{\" \t\r\n/";
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

  void Object(std::size_t aMatched) // NOLINT(misc-no-recursion)
  {
    Advance();
    while (MoreItems('}')) {
      const std::string key = Text();
      SkipBlank();
      Advance();
      Child(aMatched, aMatched == 0 ? key : "." + key);
    }
  }

  void Array(std::size_t aMatched) // NOLINT(misc-no-recursion)
  {
    Advance();
    for (std::size_t index = 0; MoreItems(']'); ++index) {
      Child(aMatched, fmt::format("[{}]", index));
    }
  }

  std::string_view mText;
  std::string_view mTarget;
  std::size_t mAt = 0;
  std::size_t mLine = 1;
  std::size_t mFoundBytes = 0;
  std::size_t mFoundLine = 1;
};

} // namespace

LineIndex::LineIndex(std::string_view aText)
  : mText(aText)
{
}

std::size_t
LineIndex::LineOf(std::string_view aPath) const
{
  return Walker(mText, aPath).Find();
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
