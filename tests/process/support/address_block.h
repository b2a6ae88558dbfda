#ifndef RADISHROAD_TESTS_PROCESS_SUPPORT_ADDRESS_BLOCK_H
#define RADISHROAD_TESTS_PROCESS_SUPPORT_ADDRESS_BLOCK_H

#include <string>
#include <unistd.h>

namespace radishroad::test {

/// Loopback addresses reserved for this test process, so that test programs
/// can run concurrently.
class AddressBlock
{
public:
  AddressBlock()
  {
    // Chosen by process id from 127.16.1.0 to 127.215.250.255.
    constexpr int kSecondByteCount = 200;
    constexpr int kSecondByteFirst = 16;
    constexpr int kThirdByteCount = 250;
    const int pid = static_cast<int>(::getpid());
    const int second =
      kSecondByteFirst + (pid / kThirdByteCount) % kSecondByteCount;
    const int third = 1 + pid % kThirdByteCount;
    mPrefix = "127." + std::to_string(second) + "." + std::to_string(third);
  }

  std::string ip(int aHost) const
  {
    return mPrefix + "." + std::to_string(aHost);
  }

private:
  std::string mPrefix;
};

}

#endif
