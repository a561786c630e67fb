//! Writes the configuration files of dispatchers, in the form that operators use.
use super::{Fleet, SLOW_START};
use crate::error::TestbedError;
use crate::scale::plan::EndpointLists;
use crate::scale::topology::ZONES;
use crate::stubs::configuration;
use serde_json::{Value, json};

const MAX_SOCKETS: usize = 4_096;
/// Dispatchers that the cluster files name as seeds.
const SEEDS: usize = 3;
/// Latency objective of urgent requests: time until the start of execution.
const URGENT_START_NS: u64 = 3_200_000_000;
/// Latency objective of other requests.
const NON_URGENT_START_NS: u64 = 10_000_000_000;
const URGENT_VALUE: f64 = 5.0;

impl Fleet {
    /// Writes the files of one dispatcher, whose discovery listens on this loopback port.
    pub(super) fn write_files(
        &self,
        number: usize,
        discovery_port: u16,
    ) -> Result<(), TestbedError> {
        let mut document = configuration(&format!("127.0.0.1:{discovery_port}"), MAX_SOCKETS);
        self.apply_settings(number, &mut document["settings"]);
        self.apply_classes(&mut document["settings"]["Schemes"]);
        if !self.plan.without_cluster {
            let name = format!("n{number}.toml");
            document["cluster"] = self.folder.join(&name).to_string_lossy().into();
            self.write(&name, &self.cluster_file(number))?;
        }
        self.write(&format!("n{number}.json"), &document.to_string())
    }

    fn write(&self, name: &str, text: &str) -> Result<(), TestbedError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|source| TestbedError::Write { path, source })
    }

    fn apply_settings(&self, number: usize, settings: &mut Value) {
        let plan = &self.plan;
        let registry_mode = match plan.endpoint_lists {
            EndpointLists::OnRequest => "on_request",
            EndpointLists::Pushed => "pushed",
        };
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
        let tenants: Vec<Value> = (0..plan.tenants)
            .map(|tenant| json!({"Name": format!("t{tenant}")}))
            .collect();
        settings["Me"] = number.into();
        settings["Siblings"] = plan.all_dispatchers().into();
        settings["RegistryMode"] = registry_mode.into();
        settings["Zones"] = zones.into();
        settings["Parties"] = tenants.into();
        settings["Bounds"]["Peers"] = plan.peer_load.into();
        settings["Contract"] = json!({
            "ColdFrom": SLOW_START.initial_share, "ColdNs": SLOW_START.duration.as_nanos() as u64,
            "FallMultiple": SLOW_START.overload_multiple, "FallNs": SLOW_START.window.as_nanos() as u64,
        });
        settings["FamilyInfo"] = json!({
            "TellsStart": true, "ClassStretch": [1.0, 1.0, 1.0, 1.0], "ClassKind": [-1, -1, -1, -1]
        });
    }

    /// Adds the urgent class, and sets the latency objectives and deadlines of all classes.
    fn apply_classes(&self, classes: &mut Value) {
        let Some(classes) = classes.as_array_mut() else {
            return;
        };
        let mut urgent = classes[0].clone();
        urgent["Name"] = "urgent".into();
        urgent["Value"] = URGENT_VALUE.into();
        classes.push(urgent);
        let service_time_ns = (self.plan.service_time_s * 1e9) as u64;
        for class in classes {
            let start_ns = if class["Name"] == "urgent" {
                URGENT_START_NS
            } else {
                NON_URGENT_START_NS
            };
            class["SlaTimeNs"] = start_ns.into();
            class["ExpiryNs"] = (3 * service_time_ns + 2 * start_ns).into();
        }
    }

    fn cluster_file(&self, number: usize) -> String {
        let seeds: Vec<String> = (0..self.plan.dispatchers.min(SEEDS))
            .map(|seed| self.datagram_address(seed).to_string())
            .collect();
        let quorum = self.plan.quorum_members();
        let quorum: Vec<String> = quorum.iter().map(|member| format!("n{member}")).collect();
        format!(
            "version = 1\ncluster = \"scale\"\nname = \"n{number}\"\nlisten = \"{}\"\nseeds = {seeds:?}\n\
             keepers = {quorum:?}\nthrough = \"{}\"\n",
            self.datagram_address(number),
            self.relay.address
        )
    }
}
