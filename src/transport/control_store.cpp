#include "transport/control_store.hpp"

namespace auburnweir::transport
{

std::string_view name_of(store_fault fault)
{
    switch (fault)
    {
    case store_fault::unreachable:
        return "unreachable";
    case store_fault::refused:
        return "refused";
    case store_fault::history_dropped:
        return "history_dropped";
    case store_fault::malformed:
        break;
    }
    return "malformed";
}

} // namespace auburnweir::transport
