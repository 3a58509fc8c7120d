// Package batch collects the notices that entries report, such as suspects, so
// that a replica passes many of them on in one message.
//
// It answers the load of a large region or fleet: the number of reports grows with
// the number of entries, and each of them goes to every entry. Without a batch, the
// messages that one entry gets grow with the fleet, and those that a replica sends
// grow with its square. A report that comes alone waits for nothing.
package batch
