// Requesters send further idempotent requests before the first has been
// answered. Some workers begin to leave out the lengths of a few answers.
#include "rig.h"

using namespace rig;

namespace {

/// Of each of two services.
constexpr int kMachines = 3;
/// Requests that are sent at once on a kept connection.
constexpr int kTogether = 8;
/// One in so many answers of the first worker of each service.
constexpr int kUnframedEach = 20;

/// Sends the requests on one connection and returns the ids that were answered
/// completely before it ended.
std::set<std::string>
exchange(int aSocket,
         const std::string& aPath,
         const std::vector<std::string>& aIds,
         bool& aIsOpen)
{
  std::string bytes;
  for (const std::string& id : aIds) {
    bytes += "GET " + aPath + id + " HTTP/1.1\r\nHost: guild.example\r\n" +
             "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\n" +
             "Authorization: Token k-granite\r\n\r\n";
  }
  static_cast<void>(::send(aSocket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  std::set<std::string> answered;
  std::string input;
  aIsOpen = true;
  const std::int64_t until = now() + 4000;
  while (answered.size() < aIds.size()) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string head = input.substr(0, end + 2);
      const std::size_t at = head.find("Content-Length: ");
      const bool hasLength = at != std::string::npos;
      const std::size_t length =
        hasLength ? std::stoul(head.substr(at + 16)) : 0;
      if (hasLength ? input.size() >= end + 4 + length : !aIsOpen) {
        answered.insert(aIds[answered.size()]);
        input.erase(0, hasLength ? end + 4 + length : input.size());
        continue;
      }
    }
    if (!aIsOpen || now() > until) {
      aIsOpen = false;
      break;
    }
    pollfd ready{ aSocket, POLLIN, 0 };
    ::poll(&ready, 1, 100);
    char part[65536];
    const ssize_t n = ::recv(aSocket, part, sizeof(part), MSG_DONTWAIT);
    if (n > 0) {
      input.append(part, static_cast<std::size_t>(n));
    } else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      aIsOpen = false;
    }
  }
  return answered;
}

}

int
main(int, char** aArguments)
{
  limitTime(115);
  Site site(aArguments[1]);
  site.publish({ { "stock", "/stock/", "idempotent", "stock", 3000, 500 },
                 { "routes", "/routes/", "idempotent", "routes", 3000, 500 } },
               { { "stock", false }, { "routes", false } });
  if (!site.mStore->open()) {
    return 2;
  }
  std::mutex mutex;
  /// Workers at which a request began, by its id.
  std::map<std::string, std::string> begun;
  std::set<std::string> faulty;
  std::atomic<bool> isFaulty{ false };
  std::atomic<int> answers{ 0 };
  for (const std::string service : { "stock", "routes" }) {
    for (int n = 1; n <= kMachines; ++n) {
      Worker::Options options;
      options.mWork = [](const Request&) { return 60; };
      options.mOnRun = [&](const std::string& aWorker,
                           const Request& aRequest) {
        const std::lock_guard<std::mutex> lock(mutex);
        begun[aRequest.header("x-request-id")] = aWorker;
      };
      if (n == 1) {
        options.mIsUnframed = [&](const Request&) {
          return hasTrouble() && isFaulty && ++answers % kUnframedEach == 0;
        };
      }
      Machine& machine = site.add(service, n, options);
      if (n == 1) {
        faulty.insert(machine.mName);
      }
      if (!machine.mWorker->start() || !site.startDaemon(machine)) {
        return 2;
      }
    }
  }
  if (!site.waitFor(
        [&] {
          bool all = true;
          for (const Machine& machine : site.mMachines) {
            all = all && Site::isReady(machine);
          }
          return all;
        },
        20000)) {
    return 2;
  }
  sleepMs(4000);
  std::atomic<bool> stopped{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> answeredCount{ 0 };
  std::atomic<int> notBegun{ 0 };
  std::atomic<int> atFaulty{ 0 };
  std::map<std::string, int> lostAt;
  std::vector<std::thread> clients;
  for (int client = 0; client < 2 * kMachines; ++client) {
    clients.emplace_back([&, client] {
      const Machine& at = site.mMachines[client];
      int fd = -1;
      for (int n = 0; !stopped; ++n) {
        if (fd < 0) {
          fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          sockaddr_in address{};
          address.sin_family = AF_INET;
          address.sin_port = htons(8402);
          ::inet_pton(AF_INET, at.mIp.c_str(), &address.sin_addr);
          if (::connect(fd,
                        reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)) != 0) {
            ::close(fd);
            fd = -1;
            sleepMs(50);
            continue;
          }
        }
        std::vector<std::string> ids;
        for (int k = 0; k < kTogether; ++k) {
          ids.push_back("r" + std::to_string(client) + "." + std::to_string(n) +
                        "." + std::to_string(k));
        }
        sent += kTogether;
        bool isOpen = true;
        const std::string path = n % 2 == 0 ? "/stock/" : "/routes/";
        const std::set<std::string> answered = exchange(fd, path, ids, isOpen);
        answeredCount += static_cast<int>(answered.size());
        if (!isOpen) {
          ::close(fd);
          fd = -1;
        }
        // What was sent on to a worker has begun there by then.
        sleepMs(100);
        const std::lock_guard<std::mutex> lock(mutex);
        for (const std::string& id : ids) {
          if (answered.contains(id)) {
            continue;
          }
          const auto it = begun.find(id);
          if (it == begun.end()) {
            ++notBegun;
          } else if (faulty.contains(it->second)) {
            ++atFaulty;
          } else {
            ++lostAt[at.mName];
            site.mRecord.line(at.mName + ": " + id + " had begun at " +
                              it->second +
                              "; its connection was closed without an answer");
          }
        }
      }
      if (fd >= 0) {
        ::close(fd);
      }
    });
  }
  sleepMs(8000);
  site.mRecord.line("workers begin to leave out lengths");
  isFaulty = true;
  sleepMs(5000);
  isFaulty = false;
  sleepMs(2000);
  stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int lost = 0;
  int most = 0;
  for (const auto& [name, count] : lostAt) {
    lost += count;
    most = std::max(most, count);
  }
  const std::string summary =
    "requests sent " + std::to_string(sent) + ", answered " +
    std::to_string(answeredCount) + ", not passed on " +
    std::to_string(notBegun) +
    "; passed on and closed without an answer: to faulty workers " +
    std::to_string(atFaulty) + ", to sound workers " + std::to_string(lost) +
    ", most of these at one machine " + std::to_string(most);
  site.mRecord.line(summary);
  std::printf("%s\n", summary.c_str());
  if (answeredCount == 0) {
    return 2;
  }
  return most > 3 ? 1 : 0;
}
