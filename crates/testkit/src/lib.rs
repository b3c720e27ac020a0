//! Stand-ins for the state service, the cloud, the workers and the users, in simulated time,
//! around the real cores of several controllers. Scenarios are the files in `traces/`.
pub mod outside;
pub mod sim;
pub mod trace;
