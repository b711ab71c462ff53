# sb_library(NAME SOURCES... LINK...) defines the static library sb_NAME.
function(sb_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(sb_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(sb_${name} PUBLIC ${ARG_LINK})
endfunction()

# sb_binary(NAME SOURCES... LINK...) defines an executable in build/bin.
function(sb_binary name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# sb_test(NAME SOURCES... LINK...) defines a Boost.Test program run by CTest.
function(sb_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_LINK} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 180
    ENVIRONMENT "SB_BIN_DIR=${CMAKE_BINARY_DIR}/bin;SB_SOURCE_DIR=${CMAKE_SOURCE_DIR}")
endfunction()
