#ifndef AUBURNWEIR_PROTOCOL_ENGINE_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_ENGINE_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/backend_table.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Messages of engines other than chat answers: load, cache events and KV export.
namespace auburnweir::protocol
{

/// The header `X-Engine-Load`: `running=3;queued=0;queued_prefill=0;prefill_rate=8000;...`.
std::string encode_load_header(state::load_report const& report);
decoded<state::load_report> decode_load_header(std::string_view text);

/// True when the header `X-Engine-State` states that the engine accepts no new work.
bool is_leaving_state(std::string_view engine_state);

/// A block of the prefix cache was stored or evicted.
struct cache_event
{
    std::uint64_t sequence; ///< increases by one per event; a gap means that events were missed
    bool stored;            ///< false: evicted
    std::uint64_t block_hash;
};

/// Body of `GET /status?after=N`.
struct engine_status
{
    state::load_report load;
    bool leaving = false;
    std::vector<cache_event> events;
};

std::string encode_engine_status(engine_status const& status);
decoded<engine_status> decode_engine_status(std::string_view body);

/// Body of `POST /v1/kv/export`, and the handle in the body of its response.
std::string encode_kv_export_request(state::attempt_token const& attempt);
decoded<std::string> decode_kv_export_response(std::string_view body);

} // namespace auburnweir::protocol

#endif
