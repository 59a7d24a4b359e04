# Declares a module: the static library tanager_NAME in its own folder.
#   tanager_module(NAME SOURCES a.cpp ... DEPENDS other_module ...)
function(tanager_module name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(tanager_${name} STATIC ${arg_SOURCES})
    target_include_directories(tanager_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(tanager_${name} PRIVATE -Wall -Wextra -Wpedantic)
    target_link_libraries(tanager_${name} PUBLIC ${arg_DEPENDS})
endfunction()

# Declares a program: the executable NAME in bin/.
function(tanager_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic)
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
endfunction()

# Declares a test program and registers it with ctest.
function(tanager_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    tanager_program(${name} SOURCES ${arg_SOURCES} DEPENDS tanager_testing ${arg_DEPENDS})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()
