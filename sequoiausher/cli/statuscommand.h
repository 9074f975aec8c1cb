#pragma once

// `sequoiausher status`: the fleet's routers, pools, targets and owners, and what is wrong with them.
//
//     sequoiausher status --router 127.0.0.1:7401

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where all is well, Unreachable where a router was not reached, and Failed at any other warning. */
class StatusCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
