# Libraries, all from Debian's packages (scripts/install.sh).
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS unit_test_framework)
find_package(CURL REQUIRED)
find_package(tl-expected REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(OpenSSL REQUIRED COMPONENTS Crypto)
pkg_check_modules(pistache REQUIRED IMPORTED_TARGET libpistache)
pkg_check_modules(log4cplus REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(popt REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)

add_library(radishroad_dependencies INTERFACE)
target_link_libraries(
  radishroad_dependencies
  INTERFACE PkgConfig::pistache
            PkgConfig::log4cplus
            PkgConfig::popt
            PkgConfig::xxhash
            CURL::libcurl
            OpenSSL::Crypto
            tl::expected
            nlohmann_json::nlohmann_json
            yaml-cpp
            Boost::headers
            Threads::Threads)
