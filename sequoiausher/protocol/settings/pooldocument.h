#pragma once

// A document `targets/POOL`: a pool and its targets.
//
//     Problems problems;
//     const PoolDescription pool = parsePool(body, PoolId{"plate-model"}, "targets/plate-model", problems);

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/state/targets/pooldescription.h"

#include <string>
#include <string_view>

namespace Sequoiausher {

/** What the names of pool documents start with. */
inline constexpr std::string_view poolDocumentPrefix = "targets/";

/** Reads the document of pool; appends everything that is wrong to problems, naming file. */
PoolDescription parsePool(std::string_view body, const PoolId &pool, const std::string &file, Problems &problems);

} // namespace Sequoiausher
