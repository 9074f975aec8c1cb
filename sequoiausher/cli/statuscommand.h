#pragma once

// `sequoiausher status`: shows the fleet's routers, pools, targets and owners, with warnings.
//
//     sequoiausher status --router 127.0.0.1:7401

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Exits with Ok without warnings, Unreachable if a router was not reached, and Failed for any other warning. */
class StatusCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
