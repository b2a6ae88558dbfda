#include "radishroad/operator/http_fetch.h"

#include "radishroad/http/response_head.h"

#include <curl/curl.h>
#include <memory>

namespace radishroad {

namespace {

constexpr long kTimeoutMs = 2000;
constexpr int kStatusOk = 200;
constexpr std::size_t kMaxBodyBytes = 64U << 20;

struct EasyCleanup
{
  void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
};

std::size_t
appendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  std::string& body = *static_cast<std::string*>(aBody);
  const std::size_t n = aSize * aCount;
  if (body.size() + n > kMaxBodyBytes) {
    return 0;
  }
  body.append(aData, n);
  return n;
}

}

Result<std::string>
httpFetch(const std::string& aAddress, const std::string& aPath)
{
  const std::unique_ptr<CURL, EasyCleanup> easy(curl_easy_init());
  const std::string url = "http://" + aAddress + aPath;
  std::string body;
  ResponseHead head;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
  curl_easy_setopt(
    easy.get(), CURLOPT_HEADERFUNCTION, &ResponseHead::addCurlLine);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &head);
  const CURLcode code = curl_easy_perform(easy.get());
  if (code != CURLE_OK) {
    return fail(ErrorCode::Unavailable, curl_easy_strerror(code));
  }
  if (!head.isWhole(body.size()) ||
      head.framing() == ResponseHead::Framing::ConnectionEnd) {
    return fail(ErrorCode::Unavailable, "incomplete response");
  }
  if (head.status() != kStatusOk) {
    return fail(ErrorCode::Unavailable,
                "status " + std::to_string(head.status()));
  }
  return body;
}

}
