#pragma once

// `sequoiausher router --config FILE`: runs one router as a daemon.
//
//     line.add(std::make_unique<RouterCommand>());

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Runs one router until a planned stop, which SIGTERM and SIGINT start. */
class RouterCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
