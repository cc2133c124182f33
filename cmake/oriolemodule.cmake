# Functions that declare the project's modules, tests and programs in one line each.

function(oriole_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers -Wno-maybe-uninitialized -Werror)
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  if(ORIOLE_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${ORIOLE_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(${target} PUBLIC -fsanitize=${ORIOLE_SANITIZE})
  endif()
endfunction()

# oriole_module(NAME SOURCES a.cpp ... LINKS lib ...): a static library oriole_<NAME>.
function(oriole_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(oriole_${name} STATIC ${ARG_SOURCES})
  oriole_options(oriole_${name})
  target_link_libraries(oriole_${name} PUBLIC ${ARG_LINKS})
endfunction()

# oriole_program(NAME SOURCES ... LINKS ...): a program <NAME> in build/bin.
function(oriole_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  oriole_options(${name})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# oriole_test(NAME SOURCES ... LINKS ...): a CppUnit program <NAME>_test and its CTest entry <NAME>.
function(oriole_test name)
  if(NOT ORIOLE_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;ARGUMENTS" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  oriole_options(${name}_test)
  target_link_libraries(${name}_test PRIVATE ${ARG_LINKS} oriole_framework oriole_testing)
  add_test(NAME ${name} COMMAND ${name}_test ${ARG_ARGUMENTS})
endfunction()
