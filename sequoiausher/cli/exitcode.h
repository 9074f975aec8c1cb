#pragma once

// The exit statuses of all commands. Scripts rely on these numbers, so they do not change.
//
//     return toStatus(ExitCode::BadInput);   // 2

#include "sequoiausher/base/nametable.h"

namespace Sequoiausher {

/** The exit status of a command. */
enum class ExitCode {
    Ok = 0,
    /** The command ran with a negative result, or failed while it ran. */
    Failed = 1,
    /** The command line, the settings or the documents are invalid. */
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
