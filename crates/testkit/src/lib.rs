//! Stand-ins for the state service, the cloud, the workers and the users, in simulated time,
//! around the real cores of several controllers. Scenarios are the files in `traces/`.
pub mod sim;
pub mod stand_ins;
pub mod trace;
