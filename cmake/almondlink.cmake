# almondlink_library(NAME DEPS...): a library in Filament's layout. Public
# headers are in include/, sources in src/, tests in tests/.
function(almondlink_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc
    ${CMAKE_CURRENT_SOURCE_DIR}/src/*/*.cc)
  add_library(almondlink_${name} STATIC ${sources})
  target_include_directories(almondlink_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_include_directories(almondlink_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(almondlink_${name} PUBLIC ${ARGN} Threads::Threads)
endfunction()

# almondlink_tests(NAME DEPS...): one Catch2 program from tests/*.cc.
function(almondlink_tests name)
  if(NOT ALMONDLINK_TESTS)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(sources)
    add_executable(test_${name} ${sources} $<TARGET_OBJECTS:catch_main>)
    target_link_libraries(test_${name} PRIVATE ${ARGN})
    target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR})
    add_test(NAME ${name} COMMAND test_${name})
    set_tests_properties(${name} PROPERTIES WORKING_DIRECTORY ${CMAKE_SOURCE_DIR} TIMEOUT 300)
  endif()
endfunction()
