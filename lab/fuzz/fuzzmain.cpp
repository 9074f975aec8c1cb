// The entry points that libFuzzer calls. SEQUOIAUSHER_FUZZ_TARGET names the target; see tools/fuzz.

#include "lab/fuzz/fuzztargets.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>

using namespace Sequoiausher;

namespace {

const FuzzTarget *chosen = nullptr;

} // namespace

// libFuzzer prescribes both names.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize([[maybe_unused]] int *argc, [[maybe_unused]] char ***argv)
{
    const char *name = std::getenv("SEQUOIAUSHER_FUZZ_TARGET");
    for (const FuzzTarget &target : fuzzTargets()) {
        if (name != nullptr && target.name == name) {
            chosen = &target;
        }
    }
    if (chosen == nullptr) {
        std::cerr << "lab-fuzz: SEQUOIAUSHER_FUZZ_TARGET names no target\n";
        std::exit(EXIT_FAILURE);
    }
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    chosen->feed(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}
