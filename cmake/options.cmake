# Compiler options shared by all targets.
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(ccache_program ccache)
if(ccache_program)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${ccache_program})
endif()

add_library(radishroad_options INTERFACE)
target_compile_features(radishroad_options INTERFACE cxx_std_20)
target_compile_options(radishroad_options INTERFACE -Wall -Wextra)

# A warning of another compiler must not keep the daemon from being deployed.
option(RADISHROAD_DEPLOY "Build only what is deployed; warnings are no errors"
       OFF)
if(NOT RADISHROAD_DEPLOY)
  target_compile_options(radishroad_options INTERFACE -Werror)
endif()

option(RADISHROAD_SANITIZE "Build with the address and undefined sanitizers"
       OFF)
if(RADISHROAD_SANITIZE)
  target_compile_options(radishroad_options
                         INTERFACE -fsanitize=address,undefined)
  target_link_options(radishroad_options INTERFACE
                      -fsanitize=address,undefined)
endif()
