#include "sequoiausher/coordination/gateway/storeposition.h"

#include "sequoiausher/base/error.h"

#include <string>

namespace Sequoiausher {

Revision storePosition(std::uint64_t era, Revision revision)
{
    if (era > maxEra || revision > maxRevision) {
        throw Error(Step::Platform,
                    "store",
                    "era " + std::to_string(era) + " or revision " + std::to_string(revision) + " is out of range");
    }
    return (era << revisionBits) | revision;
}

} // namespace Sequoiausher
