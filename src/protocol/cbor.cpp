#include "protocol/cbor.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

/// More than the messages and rows of this program have.
constexpr int max_depth = 32;

/// Builds a value and stops at what the library answers with an exception or unbounded recursion.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    bounded_builder(json& result, std::size_t input_size)
        : json_sax_dom_parser(result, false)
        , input_size_(input_size)
    {
    }

    bool start_object(std::size_t size)
    {
        return enter(size) && json_sax_dom_parser::start_object(size);
    }

    bool end_object()
    {
        --depth_;
        return json_sax_dom_parser::end_object();
    }

    bool start_array(std::size_t size)
    {
        return enter(size) && json_sax_dom_parser::start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

private:
    bool enter(std::size_t size)
    {
        constexpr auto indefinite = static_cast<std::size_t>(-1);
        // Each element has one byte or more.
        bool const fits = size == indefinite || size <= input_size_;
        return fits && ++depth_ <= max_depth;
    }

    std::size_t input_size_;
    int depth_ = 0;
};

} // namespace

std::optional<json> parse_cbor(std::string_view bytes)
{
    json result;
    bounded_builder builder(result, bytes.size());
    bool const parsed =
        json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    if (!parsed)
        return std::nullopt;
    return result;
}

} // namespace auburnweir::protocol
