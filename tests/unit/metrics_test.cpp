#include "radishroad/base/json_log.h"
#include "radishroad/base/metrics.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

using namespace radishroad;
using namespace radishroad::literals;

BOOST_AUTO_TEST_SUITE(base)

BOOST_AUTO_TEST_CASE(counters_are_summed_over_threads)
{
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int it = 0; it < 4; ++it) {
    threads.emplace_back([&metrics] {
      for (int n = 0; n < 10000; ++n) {
        metrics.count("requests_total");
        metrics.observe("wait_seconds", Millis{ n });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(metrics.counter("requests_total") == 40000U);
  BOOST_TEST(metrics.counter("others_total") == 0U);
  BOOST_TEST(metrics.toPrometheus().find("wait_seconds_count 40000\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(prometheus_text_format)
{
  Metrics metrics;
  metrics.count("requests_total{outcome=\"answered\"}", 3);
  metrics.count("requests_total{outcome=\"unknown\"}");
  metrics.gauge("window", 2.5);
  metrics.observe("latency_seconds{hop=\"peer\"}", Millis{ 4 });
  const std::string expected =
    "# TYPE requests_total counter\n"
    "requests_total{outcome=\"answered\"} 3\n"
    "requests_total{outcome=\"unknown\"} 1\n"
    "# TYPE window gauge\n"
    "window 2.5\n"
    "# TYPE latency_seconds summary\n"
    "latency_seconds{hop=\"peer\",quantile=\"0.5\"} 0.004\n"
    "latency_seconds{hop=\"peer\",quantile=\"0.99\"} 0.004\n"
    "latency_seconds{hop=\"peer\",quantile=\"0.999\"} 0.004\n"
    "latency_seconds_sum{hop=\"peer\"} 0.004\n"
    "latency_seconds_count{hop=\"peer\"} 1\n";
  BOOST_TEST(metrics.toPrometheus() == expected);
}

BOOST_AUTO_TEST_CASE(quantiles_are_exact_within_a_window)
{
  Metrics metrics;
  for (int n = 1; n <= 1000; ++n) {
    metrics.observe("latency_seconds", Millis{ (n * 7919) % 1000 + 1 });
  }
  const std::string text = metrics.toPrometheus();
  BOOST_TEST(text.find("quantile=\"0.5\"} 0.501\n") != std::string::npos, text);
  BOOST_TEST(text.find("quantile=\"0.99\"} 0.99\n") != std::string::npos, text);
  BOOST_TEST(text.find("quantile=\"0.999\"} 0.999\n") != std::string::npos,
             text);
}

BOOST_AUTO_TEST_CASE(quantiles_reflect_recent_samples)
{
  Metrics metrics;
  for (int n = 0; n < 5000; ++n) {
    metrics.observe("latency_seconds", 1_s);
  }
  for (int n = 0; n < 5000; ++n) {
    metrics.observe("latency_seconds", 2_ms);
  }
  const std::string text = metrics.toPrometheus();
  BOOST_TEST(text.find("quantile=\"0.99\"} 0.002\n") != std::string::npos,
             text);
}

BOOST_AUTO_TEST_CASE(recent_events_are_json_lines)
{
  logEvent(LogLevel::Info, "first", { { "n", 1 } });
  logEvent(LogLevel::Warn, "second", { { "bytes", "\xFF" }, { "ms", 5 } });
  const std::vector<std::string> events = recentEvents();
  BOOST_REQUIRE(events.size() >= 2U);
  const nlohmann::json last = nlohmann::json::parse(events.back());
  BOOST_TEST(last.at("event") == "second");
  BOOST_TEST(last.at("level") == "warn");
  // "ms" is the time of the event; a field of the same name must not replace
  // it.
  BOOST_TEST(last.at("ms").get<std::int64_t>() > 5);
}

BOOST_AUTO_TEST_CASE(recent_events_are_limited)
{
  for (int n = 0; n < 5000; ++n) {
    logEvent(LogLevel::Info, "many", { { "n", n } });
  }
  logEvent(LogLevel::Info, "long", { { "text", std::string(100000, 'x') } });
  const std::vector<std::string> events = recentEvents();
  BOOST_TEST(events.size() == 2048U);
  const nlohmann::json last = nlohmann::json::parse(events.back());
  BOOST_TEST(last.at("truncated") == true);
  BOOST_TEST(events.back().size() < 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
