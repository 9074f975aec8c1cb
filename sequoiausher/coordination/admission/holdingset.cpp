#include "sequoiausher/coordination/admission/holdingset.h"

#include "sequoiausher/base/hashing.h"

#include <array>
#include <string_view>

namespace Sequoiausher {

void HoldingSet::add(const RequestId &reservation)
{
    // Writes the bytes in a fixed order, so that machines of any byte order compute the same hash.
    constexpr std::size_t half = sizeof(std::uint64_t);
    constexpr unsigned bitsPerByte = 8;
    std::array<char, 2 * half> bytes{};
    for (std::size_t i = 0; i < half; ++i) {
        bytes.at(i) = static_cast<char>((reservation.high >> (i * bitsPerByte)) & 0xff);
        bytes.at(half + i) = static_cast<char>((reservation.low >> (i * bitsPerByte)) & 0xff);
    }
    this->count += 1;
    this->digest += hash64(std::string_view(bytes.data(), bytes.size()));
}

} // namespace Sequoiausher
