#include <oleandergrade/connection/holder_table.hpp>

#include <xxhash.h>

namespace oleandergrade
{

std::size_t slice_of(const std::string& account, std::size_t slice_count)
{
    return XXH64(account.data(), account.size(), 0) % slice_count;
}

} // namespace oleandergrade
