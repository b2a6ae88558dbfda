#include "rr-load/idle_connections.h"

#include <curl/curl.h>

namespace radishroad::tools {

IdleConnections::IdleConnections(const std::vector<std::string>& aTargets,
                                 int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const std::string& target =
      aTargets[static_cast<std::size_t>(i) % aTargets.size()];
    CURL* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + target).c_str());
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    if (curl_easy_perform(easy) == CURLE_OK) {
      mHandles.push_back(easy);
    } else {
      curl_easy_cleanup(easy);
    }
  }
}

IdleConnections::~IdleConnections()
{
  for (void* easy : mHandles) {
    curl_easy_cleanup(easy);
  }
}

std::size_t
IdleConnections::size() const
{
  return mHandles.size();
}

}
