/// Revisions of the metadata store that can be compared across its generations.
#pragma once

#include <cstdint>

namespace oleandergrade
{

// A store that is restored from an older copy gives out the numbers of lost
// changes again and begins a new generation. A revision therefore consists of
// the generation, in the upper bits, and the store's own number. Revisions of a
// later generation are higher than all of earlier ones. The generation is 0 if
// the store does not name it.
//
// Revisions have a meaning only at the VM that received them. What VMs exchange
// is ordered by numbers that never fall; see `rising_number`.

inline constexpr unsigned store_number_bits = 40;

constexpr std::uint64_t make_store_revision(std::uint64_t generation,
                                            std::uint64_t number)
{
    return (generation << store_number_bits) | number;
}

constexpr std::uint64_t store_generation(std::uint64_t revision)
{
    return revision >> store_number_bits;
}

/// The store's own number of the revision.
constexpr std::uint64_t store_number(std::uint64_t revision)
{
    return revision & ((std::uint64_t{1} << store_number_bits) - 1);
}

/// Returns the number by which VMs order a stored value: that of its revision,
/// or the one after `predecessor` if the store was restored and its numbers
/// have not reached the predecessor's yet. The writer stores `predecessor`, the
/// highest number that it knew or 0, with the value, so that all readers agree.
constexpr std::uint64_t rising_number(std::uint64_t revision,
                                      std::uint64_t predecessor)
{
    const auto number = store_number(revision);
    return number > predecessor || predecessor == 0 ? number : predecessor + 1;
}

} // namespace oleandergrade
