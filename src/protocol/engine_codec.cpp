#include "protocol/engine_codec.hpp"

#include "protocol/json.hpp"

#include <algorithm>
#include <charconv>

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_load_header_fields = 16;

double parse_non_negative(std::string_view text)
{
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return std::max(value, 0.0);
}

void set_field(state::load_report& report, std::string_view name, double value)
{
    auto const whole = static_cast<std::int64_t>(std::min(value, 1e12));
    if (name == "running")
        report.running = whole;
    else if (name == "queued")
        report.queued = whole;
    else if (name == "queued_prefill")
        report.queued_prefill = state::token_count{whole};
    else if (name == "prefill_rate")
        report.prefill_tokens_per_second = value;
    else if (name == "decode_rate")
        report.decode_tokens_per_second = value;
}

} // namespace

std::string encode_load_header(state::load_report const& report)
{
    return "running=" + std::to_string(report.running) +
           ";queued=" + std::to_string(report.queued) +
           ";queued_prefill=" + std::to_string(report.queued_prefill.count()) +
           ";prefill_rate=" + std::to_string(report.prefill_tokens_per_second) +
           ";decode_rate=" + std::to_string(report.decode_tokens_per_second);
}

decoded<state::load_report> decode_load_header(std::string_view text)
{
    state::load_report report;
    std::size_t fields = 0;
    while (!text.empty())
    {
        if (++fields > max_load_header_fields)
            return decode_error{"load header has too many fields"};
        auto const end = text.find(';');
        auto const field = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        auto const equals = field.find('=');
        if (equals == std::string_view::npos)
            return decode_error{"load header field has no ="};
        set_field(report, field.substr(0, equals), parse_non_negative(field.substr(equals + 1)));
    }
    return report;
}

bool is_leaving_state(std::string_view engine_state)
{
    return engine_state == "leaving";
}

std::string encode_engine_status(engine_status const& status)
{
    auto events = json::array();
    for (auto const& e : status.events)
        events.push_back({e.sequence, e.stored, e.block_hash});
    return dump(
        {{"load", encode_load_header(status.load)},
         {"leaving", status.leaving},
         {"events", std::move(events)}});
}

decoded<engine_status> decode_engine_status(std::string_view body)
{
    auto const parsed = parse_json(body);
    if (!parsed || !parsed->is_object())
        return decode_error{"engine status is not a JSON object"};
    engine_status status;
    auto const load = decode_load_header(text_at(*parsed, "load"));
    if (!load)
        return load.error();
    status.load = load.value();
    status.leaving = flag_at(*parsed, "leaving");
    for (auto const& e : array_at(*parsed, "events"))
    {
        bool const valid = e.is_array() && e.size() == 3 && e[0].is_number_unsigned() &&
                           e[1].is_boolean() && e[2].is_number_unsigned();
        if (!valid)
            return decode_error{"cache event is not [number, stored, block]"};
        status.events.push_back(
            {e[0].get<std::uint64_t>(), e[1].get<bool>(), e[2].get<std::uint64_t>()});
    }
    return status;
}

std::string encode_kv_export_request(state::attempt_token const& attempt)
{
    return dump({{"attempt", attempt.str()}});
}

decoded<std::string> decode_kv_export_response(std::string_view body)
{
    auto const parsed = parse_json(body);
    auto handle = parsed ? text_at(*parsed, "handle") : std::string{};
    if (handle.empty())
        return decode_error{"export response has no handle"};
    return handle;
}

} // namespace auburnweir::protocol
