#include "transport/fleet_api.hpp"

namespace auburnweir::transport
{

std::string_view name_of(duty_result result)
{
    switch (result)
    {
    case duty_result::accepted:
        return "accepted";
    case duty_result::unavailable:
        return "unavailable";
    case duty_result::refused:
        return "refused";
    case duty_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace auburnweir::transport
