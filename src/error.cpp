#include <oleandergrade/error.hpp>

namespace oleandergrade
{

const char* to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::unreachable:
        return "unreachable";
    case error_kind::broken:
        return "broken";
    case error_kind::timeout:
        return "timeout";
    case error_kind::refused:
        return "refused";
    case error_kind::invalid:
        return "invalid";
    case error_kind::conflict:
        return "conflict";
    case error_kind::too_large:
        return "too-large";
    }
    return "unknown";
}

std::string to_string(const error& failure)
{
    std::string line = failure.step;
    if (!failure.peer.empty())
        line += " (" + failure.peer + ")";
    line += ": " + failure.message;
    line += " [" + std::string(to_string(failure.kind)) + "]";
    return line;
}

} // namespace oleandergrade
