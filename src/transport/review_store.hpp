#ifndef AUBURNWEIR_TRANSPORT_REVIEW_STORE_HPP
#define AUBURNWEIR_TRANSPORT_REVIEW_STORE_HPP

#include "state/review_record.hpp"
#include "transport/entry_context.hpp"

#include <string>
#include <variant>

/// Deferrable requests in the platform's table service and object store.
namespace auburnweir::transport
{

enum class store_review_result
{
    stored,
    id_in_use,
    failed
};

/// Stores a deferrable request, body first, then its row.
net::awaitable<store_review_result> store_review(
    entry_context& context, worker& home, state::chat_request request,
    state::organisation_id organisation);

/// Body of the answers that say that a deferrable request is still to run.
std::string encode_review_waiting(state::request_id const& id);

struct review_absent
{
};

struct review_pending
{
};

struct review_answer
{
    std::string body; ///< the whole answer as JSON
};

struct review_unreadable
{
};

using review_lookup = std::variant<review_absent, review_pending, review_answer, review_unreadable>;

/// Where a deferrable request stands.
net::awaitable<review_lookup> find_review(
    entry_context& context, worker& home, state::organisation_id organisation,
    state::request_id id);

/// Replaces the row of a review by that of its answer, both or neither, if the row is unchanged.
/// @return false when another instance changed it, or the outcome is not known
net::awaitable<bool> finish_review(
    entry_context& context, worker& home, state::row_version expect, state::review_record done);

} // namespace auburnweir::transport

#endif
