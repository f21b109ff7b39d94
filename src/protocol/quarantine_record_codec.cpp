#include "protocol/quarantine_record_codec.hpp"

#include "protocol/cbor.hpp"
#include "protocol/element_reader.hpp"
#include "protocol/segment_evidence_codec.hpp"

namespace auburnweir::protocol
{

std::string encode_quarantine_record(state::quarantine_record const& record)
{
    auto const bytes = nlohmann::json::to_cbor(nlohmann::json::array(
        {record.saved_at.time_since_epoch().count(), encode_observations(record.evidence)}));
    return {bytes.begin(), bytes.end()};
}

std::optional<state::quarantine_record> decode_quarantine_record(std::string_view text)
{
    auto const parsed = parse_cbor(text);
    if (!parsed)
        return std::nullopt;
    try
    {
        element_reader in(*parsed);
        state::quarantine_record record;
        record.saved_at = state::wall_time{std::chrono::milliseconds{in.integer()}};
        record.evidence = read_observations(in.array());
        return record;
    }
    catch (malformed_message const&)
    {
        // The calling code logs that the row can't be decoded.
        return std::nullopt;
    }
}

} // namespace auburnweir::protocol
