//! The network between the parts of a cluster.

use {
    futures::FutureExt,
    testbed::{
        cluster::{Cluster, Deployment},
        launch,
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
    },
};

// Seen with many clusters at a time: an instance took another cluster's server, of the same name, for its own that had been
// killed, and answered from it.
#[tokio::test]
async fn the_address_of_a_killed_server_leads_to_no_other_program() {
    launch::set_program(env!("CARGO_BIN_EXE_testbed"));
    let deployment = Deployment { instances: 1, ..Deployment::waterworks() };
    let mut cluster = Cluster::start(deployment).await.unwrap();
    let own = cluster.dbs[0].process.as_ref().unwrap().addr("addr").unwrap();
    cluster.kill_db(0).await;
    let other = TcpListener::bind(own).await.unwrap();
    let mut stream = TcpStream::connect(cluster.dbs[0].front.addr).await.unwrap();
    let mut out = Vec::new();
    tokio::select! {
        read = stream.read_to_end(&mut out) => assert!(read.is_err() || out.is_empty(), "closed"),
        _ = other.accept() => panic!("another program was reached"),
    }
    assert!(other.accept().now_or_never().is_none());
}
