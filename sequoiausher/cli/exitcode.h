#pragma once

// How the commands of the one binary end; scripts may rely on these numbers.
//
//     return toStatus(ExitCode::BadInput);   // 2

#include "sequoiausher/base/nametable.h"

namespace Sequoiausher {

/** The exit status of a command. */
enum class ExitCode {
    Ok = 0,
    /** The command ran and its answer is no, or it failed on the way. */
    Failed = 1,
    /** The command line, the settings or the documents are wrong. */
    BadInput = 2,
    /** A router or the platform could not be reached. */
    Unreachable = 3,
};

template<>
inline constexpr auto nameTable<ExitCode> = std::to_array<NameEntry<ExitCode>>({
    {ExitCode::Ok, "done"},
    {ExitCode::Failed, "failed, or the answer is no"},
    {ExitCode::BadInput, "wrong command line, settings or documents"},
    {ExitCode::Unreachable, "a router or the platform could not be reached"},
});

constexpr int toStatus(ExitCode code)
{
    return static_cast<int>(code);
}

} // namespace Sequoiausher
