//! Record codes of the simulator's protocol. Events and actions use separate codes; each comment
//! gives the name of the record in the protocol.

/// Codes of the records of a batch.
pub mod event {
    /// `create`
    pub const START: u8 = 1;
    /// `peers_known`
    pub const ENDPOINT_LIST: u8 = 2;
    /// `req`
    pub const REQUEST: u8 = 3;
    /// `first`
    pub const STREAM_STARTED: u8 = 4;
    /// `attempt_end`
    pub const ATTEMPT_ENDED: u8 = 5;
    /// `lapsed`
    pub const CLIENT_DISCONNECTED: u8 = 6;
    /// `due`
    pub const TIMER_FIRED: u8 = 7;
    /// `health`
    pub const HEALTH_CHECKED: u8 = 8;
    /// `peer`
    pub const PEER_MESSAGE: u8 = 9;
    /// `detach`
    pub const STOP: u8 = 10;
    /// `note`
    pub const ATTEMPT_PROGRESS: u8 = 11;
    /// `on`
    pub const INSTANCE: u8 = 12;
}

/// Codes of the records of a reply.
pub mod action {
    /// `decline`
    pub const REJECT: u8 = 65;
    /// `follow`
    pub const WATCH_ENDPOINTS: u8 = 66;
    /// `log`
    pub const LOG: u8 = 67;
    /// `call_out`
    pub const SEND_ATTEMPT: u8 = 68;
    /// `post`
    pub const PEER_MESSAGE: u8 = 71;
    /// `surrender`
    pub const FAIL: u8 = 73;
    /// `arm`
    pub const SET_TIMER: u8 = 74;
    /// `ping`
    pub const CHECK_HEALTH: u8 = 75;
    /// `context`
    pub const INSTANCE: u8 = 77;
}

/// Length in bytes of a peer message with a load: worker, half slots, work units, speed code.
pub const PEER_LOAD_LENGTH: u16 = 10;
