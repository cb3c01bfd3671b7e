package main

// host is the name that clients send requests to.
const hostName = "ponds.example"

type table = map[string]any

// config is a configuration of a small deployment: plain services and routes to them.
func config(version int, services []table, routes []table) table {
	return table{
		"version": version, "routes": routes, "services": services, "tenants": []table{},
		"limits": table{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func service(name string) table {
	return table{"name": name, "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false}
}

func route(name, prefix, kind, service string, attempts int) table {
	return table{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": 10000, "targetLatencyMs": 1000, "priority": 1,
		"service": service, "maxAttempts": attempts, "allowAnonymous": false, "sticky": false, "resumeStreams": false,
	}
}
