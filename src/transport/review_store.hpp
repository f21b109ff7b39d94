#ifndef AUBURNWEIR_TRANSPORT_REVIEW_STORE_HPP
#define AUBURNWEIR_TRANSPORT_REVIEW_STORE_HPP

#include "state/review_record.hpp"
#include "transport/entry_context.hpp"

#include <string>
#include <variant>

/// Stores deferrable requests in the platform's table service and object store.
namespace auburnweir::transport
{

enum class store_review_result
{
    stored,
    id_in_use,
    failed
};

/// Stores a deferrable request: its body as an object, then its row.
net::awaitable<store_review_result> store_review(
    entry_context& context, worker& home, state::chat_request request,
    state::organisation_id organisation);

/// Body of the response for a deferrable request that is not finished.
std::string encode_review_waiting(state::request_id const& id);

struct review_absent
{
};

struct review_pending
{
};

struct review_answer
{
    std::string body; ///< the complete answer as JSON
};

struct review_unreadable
{
};

using review_lookup = std::variant<review_absent, review_pending, review_answer, review_unreadable>;

/// Finds the state of a deferrable request.
net::awaitable<review_lookup> find_review(
    entry_context& context, worker& home, state::organisation_id organisation,
    state::request_id id);

/// Replaces the row of a review by the row of its answer in one transaction, if the review's row
/// is unchanged.
/// @return false when another instance changed the row, or the outcome is unknown
net::awaitable<bool> finish_review(
    entry_context& context, worker& home, state::row_version expected_version,
    state::review_record done);

} // namespace auburnweir::transport

#endif
