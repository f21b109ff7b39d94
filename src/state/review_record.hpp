#ifndef AUBURNWEIR_STATE_REVIEW_RECORD_HPP
#define AUBURNWEIR_STATE_REVIEW_RECORD_HPP

#include "state/ids.hpp"
#include "state/time.hpp"

#include <string>
#include <variant>

/// Rows of deferrable requests; their bodies and answers are in the object store.
namespace auburnweir::state
{

struct review_waiting
{
    friend bool operator==(review_waiting const&, review_waiting const&) = default;
};

/// `holder` runs the request until `until`; then another instance may claim it.
struct review_claimed
{
    instance_id holder;
    wall_time until;

    friend bool operator==(review_claimed const&, review_claimed const&) = default;
};

struct review_done
{
    std::string answer_object;

    friend bool operator==(review_done const&, review_done const&) = default;
};

using review_state = std::variant<review_waiting, review_claimed, review_done>;

struct review_record
{
    request_id id;
    organisation_id organisation;
    service_id service;
    wall_time accepted_at;
    std::string body_object;
    fencing_number fencing; ///< grows with each claim
    review_state state;

    friend bool operator==(review_record const&, review_record const&) = default;
};

} // namespace auburnweir::state

#endif
