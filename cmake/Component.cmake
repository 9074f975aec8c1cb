# sequoiausher_component(NAME [DEPS target...] [TEST_DEPS target...])
#
# One component: NAME.h, NAME.cpp (optional) and NAMEtest.cpp (optional), side by side in the calling folder.
# Builds the library target NAME and, where there is a test, the test program NAMEtest, known to CTest by
# that name. DEPS are the components and libraries that NAME's header or source includes; nothing else is seen.
function(sequoiausher_component NAME)
    cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}.cpp)
        add_library(${NAME} STATIC ${NAME}.cpp)
        set(SCOPE PUBLIC)
    else()
        add_library(${NAME} INTERFACE)
        set(SCOPE INTERFACE)
    endif()
    target_include_directories(${NAME} ${SCOPE} ${PROJECT_SOURCE_DIR})
    target_link_libraries(${NAME} ${SCOPE} ${ARG_DEPS})
    if(SEQUOIAUSHER_BUILD_TESTS AND EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}test.cpp)
        sequoiausher_test(${NAME}test DEPS ${NAME} ${ARG_TEST_DEPS})
    endif()
endfunction()

# sequoiausher_test(NAME [DEPS target...])
#
# A test program from NAME.cpp with doctest's main, for tests that cover several components together.
function(sequoiausher_test NAME)
    cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
    if(NOT SEQUOIAUSHER_BUILD_TESTS)
        return()
    endif()
    add_executable(${NAME} ${NAME}.cpp)
    target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${NAME} PRIVATE testmain ${ARG_DEPS})
    sequoiausher_test_code(${NAME})
    add_test(NAME ${NAME} COMMAND ${NAME})
    set(LONGEST_SECONDS 120)
    if(SEQUOIAUSHER_SANITIZE)
        # Instrumented, the largest take 100 s of processor time, and longer on a machine that builds beside them.
        set(LONGEST_SECONDS 600)
    endif()
    set_tests_properties(${NAME} PROPERTIES TIMEOUT ${LONGEST_SECONDS})
endfunction()

# sequoiausher_test_code(TARGET)
#
# Marks a target whose own code only drives tests. The sanitizers then watch it unoptimised: the templates of
# doctest and rapidcheck, instrumented and optimised, take g++ 12 minutes and gigabytes for one file, and what is
# tested stands in other targets.
function(sequoiausher_test_code TARGET)
    if(SEQUOIAUSHER_SANITIZE)
        target_compile_options(${TARGET} PRIVATE -O0 -g0)
    endif()
endfunction()
