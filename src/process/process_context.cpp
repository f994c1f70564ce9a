#include <oleandergrade/process/process_context.hpp>

#include <random>

namespace oleandergrade
{

namespace
{
/// Kept below 2^53, so that JSON readers hold it exactly.
constexpr std::uint64_t highest_incarnation = (1ULL << 53) - 1;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1, highest_incarnation)(
        device);
}
} // namespace

process_context::process_context(const settings& given)
    : own(given), incarnation(random_incarnation()), view(given.failure_domain)
{
}

} // namespace oleandergrade
