# Declares the static library NAME from every source file in the current folder.
# Arguments after NAME are the libraries it links to.
function(cyclamenledge_library NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(cyclamenledge_${NAME} STATIC ${sources})
    target_link_libraries(cyclamenledge_${NAME} PUBLIC ${ARGN})
endfunction()

# Declares the test program test_NAME from every source file in the current folder.
# Arguments after NAME are the libraries it links to.
function(cyclamenledge_test NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${NAME} ${sources})
    target_link_libraries(test_${NAME} PRIVATE cyclamenledge_test_support ${ARGN})
    add_test(NAME ${NAME} COMMAND test_${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
    # Tests with real processes take longest, so they start first.
    if(NAME MATCHES "^process_")
        set_tests_properties(${NAME} PROPERTIES COST 100)
    endif()
endfunction()
