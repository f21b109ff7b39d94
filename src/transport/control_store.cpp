#include "transport/control_store.hpp"

namespace auburnweir::transport
{

std::string_view name_of(store_error error)
{
    switch (error)
    {
    case store_error::unreachable:
        return "unreachable";
    case store_error::refused:
        return "refused";
    case store_error::history_dropped:
        return "history_dropped";
    case store_error::outdated:
        return "outdated";
    case store_error::malformed:
        break;
    }
    return "malformed";
}

} // namespace auburnweir::transport
