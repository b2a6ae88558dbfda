#include "support/http_call.h"

namespace radishroad::test {

LoadResult
call(LoadRequest aRequest)
{
  tools::LoadEngine engine(
    { .mMaxConnections = 1, .mLimitConnections = false, .mKeepBodies = true });
  aRequest.mSendAt = std::chrono::steady_clock::now();
  std::optional<LoadRequest> next = std::move(aRequest);
  LoadResult result;
  engine.run([&next] { return std::exchange(next, std::nullopt); },
             [&result](LoadResult aResult) { result = std::move(aResult); });
  return result;
}

LoadResult
get(const std::string& aUrl, Millis aTimeout)
{
  LoadRequest request;
  request.mUrl = aUrl;
  request.mTimeout = aTimeout;
  return call(std::move(request));
}

LoadResult
post(const std::string& aUrl, const std::string& aBody)
{
  LoadRequest request;
  request.mUrl = aUrl;
  request.mMethod = "POST";
  request.mBody = aBody;
  return call(std::move(request));
}

nlohmann::json
getJson(const std::string& aUrl)
{
  const LoadResult result = get(aUrl);
  return nlohmann::json::parse(result.mBody, nullptr, false).is_discarded()
           ? nlohmann::json()
           : nlohmann::json::parse(result.mBody);
}

}
