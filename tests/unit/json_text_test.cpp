#include "radishroad/base/json_text.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace radishroad;

BOOST_AUTO_TEST_SUITE(json_text)

BOOST_AUTO_TEST_CASE(utf8_is_recognized_as_the_json_library_does)
{
  for (const std::string& text : { std::string(),
                                   std::string("abc"),
                                   std::string("\0", 1),
                                   std::string("\xC3\xA9"),
                                   std::string("\xE2\x82\xAC"),
                                   std::string("\xF0\x9F\x98\x80"),
                                   std::string("\xF4\x8F\xBF\xBF"),
                                   std::string("\xE9"),
                                   std::string("a\xE9z"),
                                   std::string("\xC0\xAF"),
                                   std::string("\xE0\x80\xAF"),
                                   std::string("\xED\xA0\x80"),
                                   std::string("\xF4\x90\x80\x80"),
                                   std::string("\xF5\x80\x80\x80"),
                                   std::string("\xE2\x82"),
                                   std::string("\x80") }) {
    bool written = true;
    try {
      static_cast<void>(nlohmann::json(text).dump());
    } catch (const nlohmann::json::type_error&) {
      written = false;
    }
    BOOST_TEST(isUtf8(text) == written,
               nlohmann::json::binary({ text.begin(), text.end() }).dump());
  }
}

BOOST_AUTO_TEST_CASE(invalid_utf8_is_replaced)
{
  BOOST_TEST(replaceInvalidUtf8("a\xC3\xA9z") == "a\xC3\xA9z");
  BOOST_TEST(replaceInvalidUtf8("a\xFFz\xE9") == "a\xEF\xBF\xBDz\xEF\xBF\xBD");
}

BOOST_AUTO_TEST_CASE(nesting_is_bounded)
{
  const auto nested = [](std::size_t aDepth) {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  };
  BOOST_TEST(parseJson(nested(kMaxJsonDepth)).has_value());
  BOOST_TEST(!parseJson(nested(kMaxJsonDepth + 1)).has_value());
  for (const std::string& text : { nested(1000000),
                                   std::string(1000000, '['),
                                   "{\"a\":" + nested(40) + ",\"b\":1}",
                                   "[[1]," + nested(40) + ",2]",
                                   std::string("[1e400]"),
                                   std::string("\"\xE9\""),
                                   std::string("") }) {
    const Result<nlohmann::json> read = parseJson(text);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(!read.error().mMessage.empty());
  }
  const std::string text = R"({"a":[1,{"b":null}],"c":"x"})";
  BOOST_TEST(parseJson(text).value() == nlohmann::json::parse(text));
}

BOOST_AUTO_TEST_CASE(any_bytes_are_written)
{
  BOOST_TEST(writeJson({ { "a", "x\xE9y" } }) == "{\"a\":\"x\xEF\xBF\xBDy\"}");
}

BOOST_AUTO_TEST_SUITE_END()
