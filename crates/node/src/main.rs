//! The program `sassafrasspool-node`.

mod flags;

use std::process::ExitCode;

use sassafrasspool_node::program;

use crate::flags::SassafrasspoolNode;

fn main() -> ExitCode {
    let flags = SassafrasspoolNode::from_env_or_exit();
    program::run(&flags.settings)
}
