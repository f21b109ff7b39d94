#include "transport/request_placement.hpp"

namespace auburnweir::transport
{

state::placement_rule const& request_placement::current()
{
    auto routes = context_.tables.routes.current();
    if (routes == applied_)
        return rule_;
    rule_ = coordination::intersection(
        rule_, coordination::placement_in(*routes, request_, context_.settings.domain_regions));
    applied_ = std::move(routes);
    return rule_;
}

} // namespace auburnweir::transport
