#include "radishroad/policy/fingerprint.h"

#include "radishroad/base/hash.h"

#include <string_view>

namespace radishroad {

std::uint64_t
fingerprintOf(const ForwardRequest& aRequest)
{
  const std::string_view target = aRequest.target;
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view body(
    reinterpret_cast<const char*>(aRequest.body.data()), aRequest.body.size());
  std::uint64_t hash = hash64(aRequest.workspace);
  hash = hashPair(hash, hash64(aRequest.method));
  hash = hashPair(hash, hash64(path));
  return hashPair(hash, hash64(body));
}

}
