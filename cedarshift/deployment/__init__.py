"""What a deployment file says, read from HCL and checked: every error with file, line, what was found, what is allowed."""
from cedarshift.deployment.deployment import (Channel, Deployment, Guarantees, ListSource, PilotPlace, ProxyTerms,
                                              ServedOp, StorePlace, load)
from cedarshift.deployment.hcl import FileRefused, Problem

__all__ = ["Channel", "Deployment", "FileRefused", "Guarantees", "ListSource", "PilotPlace", "Problem", "ProxyTerms",
           "ServedOp", "StorePlace", "load"]
