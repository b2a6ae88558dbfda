/// TCP relay for tests that can disconnect, pause and delay individual links.
/// Usage: --control IP:PORT, and --link NAME=LISTEN,TARGET once per link.

#include "common/arguments.h"
#include "common/http_endpoint.h"
#include "rr-relay/control.h"
#include "rr-relay/relay_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace {

namespace tools = radishroad::tools;

struct Settings
{
  std::string mControl;
  std::vector<std::string> mLinks;
};

std::optional<Settings>
parse(int aCount, const char** aValues)
{
  constexpr int kControlOption = 1;
  constexpr int kLinkOption = 2;
  const poptOption table[] = {
    { "control", 0, POPT_ARG_STRING, nullptr, kControlOption, "", "IP:PORT" },
    { "link", 0, POPT_ARG_STRING, nullptr, kLinkOption, "", "NAME=FROM,TO" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  Settings settings;
  poptContext context = poptGetContext(nullptr, aCount, aValues, table, 0);
  int option = poptGetNextOpt(context);
  while (option > 0) {
    char* text = poptGetOptArg(context);
    if (option == kControlOption) {
      settings.mControl = text;
    } else {
      settings.mLinks.emplace_back(text);
    }
    std::free(text);
    option = poptGetNextOpt(context);
  }
  if (!tools::finishArguments(context, option) || settings.mControl.empty()) {
    return std::nullopt;
  }
  return settings;
}

tools::RelayLinks
makeLinks(boost::asio::io_context& aContext,
          const std::vector<std::string>& aLinkTexts)
{
  tools::RelayLinks links;
  for (const std::string& text : aLinkTexts) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      throw std::invalid_argument("expected NAME=LISTEN,TARGET: " + text);
    }
    links.push_back(std::make_unique<tools::RelayLink>(
      aContext, text.substr(0, equals), text.substr(equals + 1)));
  }
  return links;
}

}

int
main(int aCount, char** aValues)
try {
  const std::optional<Settings> settings =
    parse(aCount, const_cast<const char**>(aValues));
  if (!settings) {
    std::fprintf(stderr, "rr-relay: --control IP:PORT is required\n");
    return tools::kUsageError;
  }
  boost::asio::io_context context;
  const tools::RelayLinks links = makeLinks(context, settings->mLinks);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
    [&context](const boost::system::error_code&, int) { context.stop(); });
  tools::HttpEndpoint endpoint(
    settings->mControl,
    [&context, &links](const Pistache::Http::Request& aRequest,
                       const tools::Reply& aReply) {
      boost::asio::post(context, [&links, aRequest, aReply] {
        tools::handleControl(links, aRequest, aReply);
      });
    });
  endpoint.start();
  context.run();
  endpoint.stop();
  return 0;
} catch (const std::exception& aError) {
  std::fprintf(stderr, "rr-relay: %s\n", aError.what());
  return tools::kUsageError;
}
