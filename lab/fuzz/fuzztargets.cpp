#include "lab/fuzz/fuzztargets.h"

#include <array>

namespace Sequoiausher {

namespace {

constexpr auto targets = std::to_array<FuzzTarget>({
    {"frame", feedFrame},
    {"hello", feedHello},
    {"tunnel", feedTunnel},
    {"request", feedRequest},
    {"stream", feedStream},
    {"load", feedLoad},
    {"settings", feedSettings},
    {"document", feedDocument},
    {"rules", feedRules},
});

} // namespace

std::span<const FuzzTarget> fuzzTargets()
{
    return targets;
}

} // namespace Sequoiausher
