#include "protocol/chat_codec.hpp"
#include "protocol/engine_codec.hpp"
#include "protocol/json.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/whole_document.hpp"

#include <functional>
#include <gtest/gtest.h>
#include <ostream>

namespace auburnweir::protocol
{
namespace
{

/// A document and whether its reader accepts a text.
struct document_case
{
    std::string name;
    std::string text;
    std::function<bool(std::string_view)> is_accepted;
};

void PrintTo(document_case const& which, std::ostream* out)
{
    *out << which.name;
}

template <class F>
auto accepts(F decode)
{
    return [decode](std::string_view text) { return decode(text).has_value(); };
}

std::string instances()
{
    state::instance one;
    one.id = state::instance_id{"i-1"};
    one.peer_address = {"127.0.0.1", 80};
    return encode_instances({one, one});
}

std::string engine_report()
{
    engine_status status;
    status.leaving = true;
    status.events = {{1, true, 2}, {2, false, 3}};
    return encode_engine_status(status);
}

std::vector<document_case> documents()
{
    std::string const row_text = R"({"rows":[{"key":"a","value":"Yg==","ver":1}],"ver":1})";
    state::table_row const row{state::row_key{"k"}, state::row_version{1}, "a \"}] value"};
    return {
        {"store_rows", row_text, accepts(parse_json)},
        {"nested_text", R"({"a":["}]",{"b":"\\"}],"c":null} )", accepts(parse_json)},
        {"versions", encode_versions({state::row_version{1}}), accepts(decode_versions)},
        {"table_rows", encode_rows({row, row}), accepts(decode_rows)},
        {"instances", instances(), accepts(decode_instances)},
        {"notices", encode_notices({{"a", std::chrono::seconds{1}}}), accepts(decode_notices)},
        {"engine_status", engine_report(), accepts(decode_engine_status)},
        {"kv_export", R"({"handle":"h"})", accepts(decode_kv_export_response)}};
}

/// The end of a response that has neither a length nor chunks proves nothing; the end of a JSON
/// object does.
class cut_document_test : public testing::TestWithParam<document_case>
{
};

// Guards against LOST and MIXED: the start of a document taken for all of it.
TEST_P(cut_document_test, document_cut_after_any_byte_is_rejected)
{
    auto const& [name, text, is_accepted] = GetParam();
    EXPECT_TRUE(is_accepted(text));
    auto const last = text.find_last_of("}");
    for (std::size_t size = 0; size <= last; ++size)
        EXPECT_FALSE(is_accepted(std::string_view{text}.substr(0, size))) << size;
}

// Guards against MIXED: part of an answer that is no JSON object taken for the whole.
TEST_P(cut_document_test, document_proves_itself_whole_at_its_last_byte)
{
    auto const& text = GetParam().text;
    EXPECT_TRUE(proves_itself_whole("application/json", text));
    EXPECT_TRUE(proves_itself_whole("Application/JSON; charset=utf-8", text));
    EXPECT_FALSE(proves_itself_whole("text/plain", text));
    EXPECT_FALSE(proves_itself_whole("application/jsonl", text));
    EXPECT_FALSE(proves_itself_whole("", text));
    auto const last = text.find_last_of("}");
    for (std::size_t size = 0; size <= last; ++size)
        EXPECT_FALSE(
            proves_itself_whole("application/json", std::string_view{text}.substr(0, size)))
            << size;
}

// Guards against numbers and words, whose starts are JSON as well.
TEST(proof_of_document_test, text_that_is_no_object_or_array_proves_nothing)
{
    for (std::string const text : {"12", "1.5", "true", "null", "\"a\"", ""})
        EXPECT_FALSE(proves_itself_whole("application/json", text)) << text;
    EXPECT_TRUE(proves_itself_whole("application/json", "[1,2]"));
}

INSTANTIATE_TEST_SUITE_P(
    documents, cut_document_test, testing::ValuesIn(documents()),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace auburnweir::protocol
