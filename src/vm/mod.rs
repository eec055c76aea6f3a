//! The daemon of one VM: its blackboard, its controllers and the path of a request.
