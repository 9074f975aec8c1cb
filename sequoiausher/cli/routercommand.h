#pragma once

// `sequoiausher router --config FILE`: the daemon.
//
//     line.add(std::make_unique<RouterCommand>());

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Runs one router until SIGTERM or SIGINT has brought it to a planned stop. */
class RouterCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
