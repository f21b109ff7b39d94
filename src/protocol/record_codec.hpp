#ifndef AUBURNWEIR_PROTOCOL_RECORD_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_RECORD_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/ledger_record.hpp"
#include "state/review_record.hpp"
#include "state/table_write.hpp"

#include <string>
#include <string_view>

/// JSON values of the rows that auburnweir stores in the table service.
namespace auburnweir::protocol
{

std::string encode(state::ledger_record const& record);
decoded<state::ledger_record> decode_ledger_record(std::string_view text);

std::string encode(state::review_record const& record);
decoded<state::review_record> decode_review_record(std::string_view text);

/// Key of the ledger row of an operation.
state::row_key ledger_key(
    state::organisation_id const& organisation, state::service_id const& service,
    state::idempotency_key const& key);

/// Prefix of the row keys of unfinished deferrable requests.
constexpr std::string_view review_key_prefix = "review/";

/// Key of the row of a finished deferrable request.
state::row_key review_done_key(
    state::organisation_id const& organisation, state::request_id const& id);

/// Key of the row of an unfinished deferrable request.
state::row_key review_key(state::organisation_id const& organisation, state::request_id const& id);

} // namespace auburnweir::protocol

#endif
