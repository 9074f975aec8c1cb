#include "sequoiausher/coordination/gateway/requestfingerprint.h"

#include "sequoiausher/base/hashing.h"

#include <array>
#include <cstdio>

namespace Sequoiausher {

RequestFingerprint computeFingerprint(const OrganisationId &caller, std::string_view path, std::string_view body)
{
    return {hash64(caller.value), hash64(body, hash64(path))};
}

std::string toText(const RequestFingerprint &fingerprint)
{
    constexpr std::size_t longest = 2 * 16 + 2;
    std::array<char, longest> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%llx-%llx",
                  static_cast<unsigned long long>(fingerprint.caller),
                  static_cast<unsigned long long>(fingerprint.content));
    return text.data();
}

} // namespace Sequoiausher
